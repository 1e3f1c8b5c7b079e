package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"lilaccove/internal/peer"
)

// printVersions prints the versions that each gateway acts on, from the most recent report on it.
func printVersions(w io.Writer, addresses []string, asJSON bool, timeout time.Duration) error {
	var unreachable, findings []string
	reports := map[string]*peer.VersionsReport{}
	newest := map[string]peer.VersionReport{}
	var names []string
	for _, addr := range addresses {
		report, err := fetch[peer.VersionsReport](addr, "/v1/fleet/versions", timeout)
		if reports[addr] = report; err != nil {
			unreachable = append(unreachable, addr+" ("+err.Error()+")")
			continue
		}
		for _, version := range report.Versions {
			old, known := newest[version.Name]
			if !known {
				names = append(names, version.Name)
			}
			if !known || version.Name == report.Name || old.ReceivedMS > version.ReceivedMS {
				newest[version.Name] = version
			}
		}
	}
	newestList := int64(0)
	for _, version := range newest {
		newestList = max(newestList, version.ListVersion)
	}
	table := tabwriter.NewWriter(w, 2, 8, 2, ' ', 0)
	fmt.Fprintln(table, "GATEWAY\tLIST\tLAG\tOVERRIDES\tVIEW\tCONFIG\tFLEET FILE\tBUILD\tREPORTED")
	for _, name := range names {
		v := newest[name]
		lagging := "-"
		if v.ListVersion < newestList {
			lagging = (time.Duration(v.LaggingMS) * time.Millisecond).String()
			findings = append(findings, fmt.Sprintf("%s acts on list %d, the newest is %d", name, v.ListVersion, newestList))
		}
		fmt.Fprintf(table, "%s\t%d\t%s\t%x\t%x\t%s\t%s\t%s\t%v ago\n", name, v.ListVersion, lagging, v.OverridesDigest, v.ViewDigest, v.ConfigDigest, v.FleetFileDigest, v.Build,
			time.Duration(v.ReceivedMS)*time.Millisecond)
	}
	if err := printResult(w, asJSON, reports, table.Flush); err != nil {
		return err
	}
	return exitError(unreachable, findings)
}
