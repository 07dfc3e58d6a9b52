package scheduler

import (
	"os"
	"testing"

	"bamboohill/core/internal/seeder"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) { os.Exit(seeder.Run(m)) }
