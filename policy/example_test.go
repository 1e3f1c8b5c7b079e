package policy_test

import (
	"fmt"
	"time"

	"lilaccove/policy"
)

func Example() {
	r, err := policy.New(policy.Settings{
		Routers: 3, Tick: 5 * time.Millisecond, CanProbe: true,
		Classes: []policy.Class{{
			Level: policy.Loose, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second,
		}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	actions := r.Step(0, []policy.Event{
		policy.ListUpdate{Kind: policy.ListFull, Entries: []policy.Member{{Host: "a", Group: 1}}},
		policy.Request{ID: "q1", Class: 0, Group: 1, Timeout: 2 * time.Second},
	})
	for _, a := range actions {
		if s, ok := a.(policy.Send); ok {
			fmt.Println("send", s.Request, "to", s.Host)
		}
	}
	// Output:
	// send q1 to a
}
