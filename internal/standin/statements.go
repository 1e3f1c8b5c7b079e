package standin

import "fmt"

// Settings are those of a site with one group of a primary and two replicas, and three classes: browse, own and write.
const Settings = `{"Allowed":{"Cancel":true,"ConnIdleUs":15000000,"DialTimeoutUs":250000,"MaxRetryAfterUs":1000000,
"Probes":true,"RetryAfter":true,"TryLimit":6},"Discovery":"ask","Domain":{"Behind":"none","ClassBoundUs":[3000000,0,0],
"ReadLevel":["recent","own_writes","update"],"ShowsRole":"delayed","SessionMarks":"client"},"Instances":1,"Lanes":[
{"Name":"browse","GoalTimeUs":500000,"DeadlineUs":1200000,"Repeat":"retryable","Worth":1},
{"Name":"own","GoalTimeUs":500000,"DeadlineUs":1500000,"Repeat":"retryable","Worth":2,"LateWorth":0.2},
{"Name":"write","GoalTimeUs":600000,"DeadlineUs":3000000,"Repeat":"fragile","Worth":4,"LateWorth":0.5}],
"Localities":["a","b"],"ResolutionUs":5000,"Rules":{"AnswerSlackUs":20000,"ColdUs":18000000,"DrainGraceUs":2000000,
"FallMultiple":2,"FallUs":1000000,"MustAskInUs":10000000,"StartCapacity":0.27},"Zone":0}`

// Statement returns a client's statement of a class with its head comment, as clients send it; options is appended to the comment.
func Statement(id, class string, deadlineMillis int64, options string) string {
	head := fmt.Sprintf("/* id=%s,c=%s,d=%d,cluster=2%s */ ", id, class, deadlineMillis, options)
	if class == "write" {
		return head + `INSERT INTO rows (handle, blob) VALUES ('7f3a9c21e0b4d655', '\x9f03') RETURNING blob`
	}
	return head + "SELECT blob FROM rows WHERE handle = '7f3a9c21e0b4d655'"
}
