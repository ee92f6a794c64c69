package main

import (
	"fmt"
	"regexp"
	"strings"
)

// render fills in the template of the settings as DEPLOY.md tells it, as far as
// deploy/node.toml uses it: values, sections of a table or of a present value, {{@}} and {{,}}.
func render(text string, fields map[string]any) string {
	section := regexp.MustCompile(`(?s)\{\{#([A-Za-z0-9_.]+)\}\}(.*?)\{\{/([A-Za-z0-9_.]+)\}\}`)
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		v := lookup(fields, m[1])
		switch v := v.(type) {
		case nil:
			return ""
		case bool:
			if !v {
				return ""
			}
			return m[2]
		case []string: // the keys of a table
			var out strings.Builder
			for i, key := range v {
				comma := ","
				if i == len(v)-1 {
					comma = ""
				}
				out.WriteString(strings.NewReplacer("{{@}}", key, "{{,}}", comma).Replace(m[2]))
			}
			return out.String()
		default:
			return m[2]
		}
	})
	value := regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)\}\}`)
	return value.ReplaceAllStringFunc(text, func(s string) string {
		v := lookup(fields, value.FindStringSubmatch(s)[1])
		if v == nil {
			return ""
		}
		return fmt.Sprint(v)
	})
}

// lookup returns the value of a dotted name, or nil.
func lookup(fields map[string]any, name string) any {
	var v any = fields
	for _, part := range strings.Split(name, ".") {
		switch t := v.(type) {
		case map[string]any:
			v = t[part]
		case []int:
			i := int(part[0] - '0')
			if i >= len(t) {
				return nil
			}
			v = t[i]
		default:
			return nil
		}
	}
	return v
}
