package main

import (
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against stale reads after a session's write whose value was streamed: the decision module did not learn its commit.
func TestSessionReadsItsWrite(t *testing.T) {
	t.Parallel()
	for name, write := range map[string]func(gw *testGateway, value string) (answer string){
		"small value": func(gw *testGateway, value string) string {
			gw.primary.setHandler(func(d *database, c net.Conn, _ string) { d.Answer(c, value[:100]) })
			return gw.connect().query(statement("write", 2000, "")).value
		},
		"large value": func(gw *testGateway, value string) string {
			gw.primary.setHandler(func(d *database, c net.Conn, _ string) { d.Answer(c, value) })
			return gw.connect().query(statement("write", 2000, "")).value
		},
		"client gone": func(gw *testGateway, value string) string {
			gw.primary.setHandler(func(d *database, c net.Conn, _ string) {
				time.Sleep(100 * time.Millisecond)
				d.Answer(c, value[:100])
			})
			c, before := gw.connect(), len(gw.primary.Statements())
			c.write(queryMessage(statement("write", 2000, "")))
			gw.eventually("the write arrives", func() bool { return len(gw.primary.Statements()) > before })
			c.conn.Close()
			time.Sleep(200 * time.Millisecond) // until it is answered
			return value[:100]
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			gw := startGateway(t, func(gw *testGateway) {
				gw.settings = strings.Replace(testSettings, `"SessionMarks":"client"`, `"SessionMarks":"router"`, 1)
				gw.settings = strings.Replace(gw.settings, `"Cancel":true`, `"Cancel":false`, 1) // so that the answer is read
			})
			c := gw.connect()
			gw.learnPositions(c)
			gw.replicaA.SetLag(6 * time.Second)
			gw.replicaB.SetLag(6 * time.Second)
			time.Sleep(100 * time.Millisecond) // the replicas' positions are older than the commit
			assert.NotEmpty(t, write(gw, variedValue(100<<10)))
			gw.primary.setHandler(nil)
			for range 10 {
				assert.Equal(t, "p", c.query(statement("own", 1500, "")).value, "only the primary has the write")
			}
		})
	}
}
