package entry

import (
	"testing"

	"github.com/sequoiaspan/sequoiaspan/core/property"
)

// TestMain seeds the property tests.
func TestMain(m *testing.M) { property.Main(m, nil) }
