package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	fieldPattern   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a template with the parts of the platform's language that the project uses. The platform writes
// nothing for a placeholder without a value; here this is an error, as is anything else in braces. Only a section may
// lack a value.
func render(text string, values map[string]any) (string, error) {
	var failure error
	fail := func(format string, args ...any) string {
		if failure == nil {
			failure = fmt.Errorf(format, args...)
		}
		return ""
	}
	text = sectionPattern.ReplaceAllStringFunc(text, func(section string) string {
		parts := sectionPattern.FindStringSubmatch(section)
		if parts[1] != parts[3] {
			return fail("section %s is ended as %s", parts[1], parts[3])
		}
		value := lookup(values, parts[1])
		if value == nil || value == false {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", format(value, false))
	})
	text = fieldPattern.ReplaceAllStringFunc(text, func(field string) string {
		parts := fieldPattern.FindStringSubmatch(field)
		value := lookup(values, parts[1])
		if value == nil {
			return fail("the stand-in for the platform has no value for {{%s}}", parts[1])
		}
		return format(value, parts[2] != "")
	})
	if failure == nil && strings.Contains(text, "{{") {
		line, _, _ := strings.Cut(text[strings.Index(text, "{{"):], "\n")
		return "", fmt.Errorf("the stand-in for the platform does not know %q", line)
	}
	return text, failure
}

func lookup(values map[string]any, path string) any {
	var value any = values
	for _, name := range strings.Split(path, ".") {
		switch v := value.(type) {
		case map[string]any:
			value = v[name]
		case []any:
			i, err := strconv.Atoi(name)
			if err != nil || i >= len(v) {
				return nil
			}
			value = v[i]
		default:
			return nil
		}
	}
	return value
}

// format writes a value as the platform does: text as it is, lists joined by commas and tables as JSON.
func format(value any, asJSON bool) string {
	if list, ok := value.([]any); ok && !asJSON {
		words := make([]string, len(list))
		for i, entry := range list {
			words[i] = format(entry, false)
		}
		return strings.Join(words, ",")
	}
	if text, ok := value.(string); ok && !asJSON {
		return text
	}
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return string(data)
}
