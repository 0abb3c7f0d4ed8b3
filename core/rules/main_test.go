package rules

import (
	"testing"

	"github.com/sequoiaspan/sequoiaspan/core/property"
)

// TestMain runs the property tests with a fixed seed.
func TestMain(m *testing.M) { property.Main(m, nil) }
