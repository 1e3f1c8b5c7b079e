package capacity

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

const (
	markOpen  = "<!-- capacity:"
	markClose = "<!-- /capacity -->"
	markEnd   = " -->"
)

// Fill puts the tables between their markers; all else stays as it is.
func Fill(page string, tables map[string]string) (string, error) {
	var out strings.Builder
	var seen []string
	inside := ""
	for i, line := range strings.SplitAfter(page, "\n") {
		text := strings.TrimRight(line, "\r\n")
		switch {
		case strings.HasPrefix(text, markOpen) && strings.HasSuffix(text, markEnd):
			name := strings.TrimSuffix(strings.TrimPrefix(text, markOpen), markEnd)
			switch {
			case inside != "":
				return "", fmt.Errorf("line %d: %s begins within %s; end that one with %s", i+1, name, inside, markClose)
			case slices.Contains(seen, name):
				return "", fmt.Errorf("line %d: table %s is there twice; leave one out", i+1, name)
			}
			table, ok := tables[name]
			if !ok {
				return "", fmt.Errorf("line %d: no table is named %s", i+1, name)
			}
			seen, inside = append(seen, name), name
			out.WriteString(line + table)
		case text == markClose:
			if inside == "" {
				return "", fmt.Errorf("line %d: no table ends here", i+1)
			}
			inside = ""
			out.WriteString(line)
		case inside == "":
			out.WriteString(line)
		}
	}
	if inside != "" {
		return "", fmt.Errorf("table %s has no end; put %s behind it", inside, markClose)
	}
	for _, name := range slices.Sorted(maps.Keys(tables)) {
		if !slices.Contains(seen, name) {
			return "", fmt.Errorf("table %s is nowhere; put %s%s%s and %s where it is to stand", name, markOpen, name, markEnd, markClose)
		}
	}
	return out.String(), nil
}

// Differs tells the first line in which a page is not what its runs come to; "": none.
func Differs(page string, tables map[string]string) (string, error) {
	want, err := Fill(page, tables)
	if err != nil {
		return "", err
	}
	p, w := strings.Split(page, "\n"), strings.Split(want, "\n")
	for i := range max(len(p), len(w)) {
		at := func(l []string) string {
			if i < len(l) {
				return l[i]
			}
			return "(the end)"
		}
		if at(p) != at(w) {
			return fmt.Sprintf("line %d: the page has\n  %s\nits runs come to\n  %s", i+1, at(p), at(w)), nil
		}
	}
	return "", nil
}
