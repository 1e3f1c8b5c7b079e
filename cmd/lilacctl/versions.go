package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"lilaccove/internal/peer"
)

// versions tells which gateway acts on which versions, in one screen.
func versions(w io.Writer, at []string, asJSON bool, wait time.Duration) error {
	var silent, findings []string
	said := map[string]*peer.VersionsReport{}
	newest := map[string]peer.VersionReport{}
	var names []string
	for _, a := range at {
		r, err := fetch[peer.VersionsReport](a, "/v1/fleet/versions", wait)
		if said[a] = r; err != nil {
			silent = append(silent, a+" ("+err.Error()+")")
			continue
		}
		for _, v := range r.Versions {
			old, known := newest[v.Name]
			if !known {
				names = append(names, v.Name)
			}
			if !known || v.Name == r.Name || old.ReceivedMS > v.ReceivedMS {
				newest[v.Name] = v
			}
		}
	}
	list := int64(0)
	for _, v := range newest {
		list = max(list, v.ListVersion)
	}
	t := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(t, "GATEWAY\tLIST\tBEHIND\tWORDS\tVIEW\tCONFIG\tFLEET FILE\tBUILD\tHEARD")
	for _, n := range names {
		v := newest[n]
		behind := "-"
		if v.ListVersion < list {
			behind = (time.Duration(v.LaggingMS) * time.Millisecond).String()
			findings = append(findings, fmt.Sprintf("%s acts on list %d, the newest is %d", n, v.ListVersion, list))
		}
		fmt.Fprintf(t, "%s\t%d\t%s\t%x\t%x\t%s\t%s\t%s\t%v ago\n", n, v.ListVersion, behind, v.OverridesDigest, v.ViewDigest, v.ConfigDigest, v.FleetFileDigest, v.Build,
			time.Duration(v.ReceivedMS)*time.Millisecond)
	}
	if err := show(w, asJSON, said, t.Flush); err != nil {
		return err
	}
	return verdict(silent, findings)
}
