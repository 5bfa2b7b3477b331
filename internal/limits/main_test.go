package limits

import (
	"testing"

	"bergamotrudder.example/bergamotrudder/internal/rapidtest"
)

func TestMain(m *testing.M) { rapidtest.Main(m, 20260701, 0) }
