package datapath

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// linearReport returns a report whose memory is 8 MB and a fixed number of bytes for each connection, statement/s and reconnect/s.
func linearReport(clients, bases, statements, again float64) *Report {
	r := &Report{Valid: true, Seconds: 2, Databases: 10}
	r.Gateway.ClientConnections, r.Gateway.DatabaseConnections, r.Gateway.Sent, r.Gateway.Reconnects = clients, bases, int(2*statements), again
	r.Gateway.RSS = 8 + (4000*clients+9000*bases+100*statements+50*again)/megabyte
	return r
}

func TestFit(t *testing.T) {
	list := []*Report{
		linearReport(1000, 10, 200, 0), linearReport(5000, 10, 100, 5), linearReport(2000, 800, 700, 90), linearReport(500, 100, 1500, 3), linearReport(900, 400, 20, 700),
		linearReport(4000, 30, 90, 12),
	}
	wrong, partial := linearReport(1, 1, 1, 1), linearReport(1, 1, 1, 1)
	wrong.Valid, wrong.Gateway.RSS = false, 900
	partial.Partial, partial.Gateway.RSS = true, 900
	l := Lines()[0]
	require.NoError(t, l.Fit(append(list, wrong, partial)))
	assert.Equal(t, 6, l.Reports, "invalid and partial reports are skipped")
	assert.InDelta(t, 8, l.Coefficients[0], 1e-6)
	for i, want := range []float64{4000, 9000, 100, 50} {
		assert.InDelta(t, want, l.Coefficients[i+1]*l.Terms[i].Scale, 1e-3)
	}
	assert.InDelta(t, 0, l.Residual, 1e-6)
	var b strings.Builder
	require.NoError(t, l.Text(&b))
	assert.Contains(t, b.String(), "+ 9000 bytes for each database connection")

	assert.ErrorContains(t, l.Fit(list[:4]), "too few")
	same := linearReport(5, 5, 5, 5)
	assert.ErrorIs(t, l.Fit([]*Report{same, same, same, same, same, same}), errSingular)
}
