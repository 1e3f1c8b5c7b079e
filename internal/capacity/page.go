package capacity

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	markerPrefix = "<!-- capacity:"
	endMarker    = "<!-- /capacity -->"
	markerSuffix = " -->"
)

// Fill replaces the tables between their markers; the rest of the page stays as it is.
func Fill(page string, tables map[string]string) (string, error) {
	var out strings.Builder
	var seen []string
	openTable := ""
	for i, line := range strings.SplitAfter(page, "\n") {
		text := strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(text, markerPrefix) && strings.HasSuffix(text, markerSuffix):
			name := strings.TrimSuffix(strings.TrimPrefix(text, markerPrefix), markerSuffix)
			switch {
			case openTable != "":
				return "", fmt.Errorf("line %d: table %s begins inside table %s; end that one with %s", i+1, name, openTable, endMarker)
			case slices.Contains(seen, name):
				return "", fmt.Errorf("line %d: table %s occurs twice; remove one", i+1, name)
			}
			table, ok := tables[name]
			if !ok {
				return "", fmt.Errorf("line %d: unknown table %s", i+1, name)
			}
			seen, openTable = append(seen, name), name
			out.WriteString(line + table)
		case text == endMarker:
			if openTable == "" {
				return "", fmt.Errorf("line %d: no table ends here", i+1)
			}
			openTable = ""
			out.WriteString(line)
		case openTable == "":
			out.WriteString(line)
		}
	}
	if openTable != "" {
		return "", fmt.Errorf("table %s has no end marker; add %s after it", openTable, endMarker)
	}
	for _, name := range slices.Sorted(maps.Keys(tables)) {
		if !slices.Contains(seen, name) {
			return "", fmt.Errorf("table %s is not on the page; add %s%s%s and %s where it belongs", name, markerPrefix, name, markerSuffix, endMarker)
		}
	}
	return out.String(), nil
}

// FirstDifference returns the first line in which a page differs from what its runs give, or "".
func FirstDifference(page string, tables map[string]string) (string, error) {
	want, err := Fill(page, tables)
	if err != nil {
		return "", err
	}
	pageLines, wantLines := strings.Split(page, "\n"), strings.Split(want, "\n")
	for i := range max(len(pageLines), len(wantLines)) {
		lineAt := func(l []string) string {
			if i < len(l) {
				return l[i]
			}
			return "(end of the page)"
		}
		if lineAt(pageLines) != lineAt(wantLines) {
			return fmt.Sprintf("line %d: the page has\n  %s\nits runs give\n  %s", i+1, lineAt(pageLines), lineAt(wantLines)), nil
		}
	}
	return "", nil
}
