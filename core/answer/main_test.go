package answer

import (
	"testing"

	"github.com/sequoiaspan/sequoiaspan/core/property"
)

// TestMain fixes the seed and the number of checks of the property tests.
func TestMain(m *testing.M) { property.Main(m, map[string]string{"rapid.checks": "4000"}) }
