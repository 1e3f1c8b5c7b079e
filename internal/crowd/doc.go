// Package crowd has only tests: one gateway, as a real process, with crowds of clients that misbehave and calm ones beside them. The memory of the
// process is sampled, also while an upgrade runs two of them, and the outcomes of both kinds of clients are counted.
package crowd
