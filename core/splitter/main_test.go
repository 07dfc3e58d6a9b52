package splitter_test

import (
	"os"
	"testing"

	"bamboohill/core/internal/seeder"
)

func TestMain(m *testing.M) { os.Exit(seeder.Run(m)) }
