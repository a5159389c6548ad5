package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/tailscale/hujson"
)

// Fault is one reason why a configuration is refused.
type Fault struct {
	File   string
	Line   int
	Column int
	Object string
	Text   string
	Fix    string
}

// String formats the fault on one line in the style of compiler errors.
func (f Fault) String() string {
	position := fmt.Sprintf("%s:%d:%d", f.File, f.Line, f.Column)
	if f.Object != "" {
		position += ": " + f.Object
	}
	return fmt.Sprintf("%s: %s; %s", position, f.Text, f.Fix)
}

// ParsedObject is one object with its position in a file.
type ParsedObject struct {
	key    Key
	body   []byte
	file   *source
	offset int
}

// Key returns the object's kind and name.
func (p ParsedObject) Key() Key { return p.key }

// Body returns the object's fields as minified standard JSON.
func (p ParsedObject) Body() []byte { return p.body }

type source struct {
	name string
	text []byte
}

func (s *source) position(offset int) (line, column int) {
	before := s.text[:min(offset, len(s.text))]
	line = bytes.Count(before, []byte("\n")) + 1
	column = len(before) - bytes.LastIndexByte(before, '\n')
	return line, column
}

func (s *source) newFault(offset int, object, text, fix string) Fault {
	line, column := s.position(offset)
	return Fault{File: s.name, Line: line, Column: column, Object: object, Text: text, Fix: fix}
}

// Parse parses the objects of one file; Check finds the faults that concern several objects.
func Parse(file string, text []byte) ([]ParsedObject, []Fault) {
	s := &source{name: file, text: text}
	root, err := hujson.Parse(text)
	if err != nil {
		return nil, []Fault{s.syntaxFault(err)}
	}
	kinds, ok := root.Value.(*hujson.Object)
	if !ok {
		return nil, []Fault{s.newFault(root.StartOffset, "", "the file is not an object", "write { \"kind\": { \"name\": { ... } } }")}
	}
	var parsed []ParsedObject
	var faults []Fault
	for _, k := range kinds.Members {
		kind := memberName(k)
		names, ok := k.Value.Value.(*hujson.Object)
		if !slices.Contains(Kinds(), kind) {
			faults = append(faults, s.newFault(k.Name.StartOffset, "", fmt.Sprintf("kind %q does not exist", kind), "use one of "+strings.Join(Kinds(), ", ")))
			continue
		}
		if !ok {
			faults = append(faults, s.newFault(k.Value.StartOffset, kind, "the value is not an object", "write { \"name\": { ... } }"))
			continue
		}
		for _, m := range names.Members {
			p, f := s.parseObject(Key{kind, memberName(m)}, m)
			faults = append(faults, f...)
			if len(f) == 0 {
				parsed = append(parsed, p)
			}
		}
	}
	return parsed, faults
}

func (s *source) syntaxFault(err error) Fault {
	text := err.Error()
	// The parser quotes an invalid literal, which may be a key.
	shown, _, _ := strings.Cut(text, "invalid literal: ")
	if shown != text {
		shown += "invalid literal"
	}
	f := Fault{File: s.name, Line: 1, Column: 1, Text: shown, Fix: "mend the JSON there"}
	if i := strings.Index(text, "line "); i >= 0 {
		_, _ = fmt.Sscanf(text[i:], "line %d, column %d", &f.Line, &f.Column)
	}
	return f
}

func memberName(m hujson.ObjectMember) string {
	literal, ok := m.Name.Value.(hujson.Literal)
	if !ok {
		return ""
	}
	return literal.String()
}

func (s *source) parseObject(key Key, m hujson.ObjectMember) (ParsedObject, []Fault) {
	var faults []Fault
	value := m.Value.Clone()
	value.Standardize()
	value.Minimize()
	body := value.Pack()
	if key.Kind == KindWorkspace {
		if !validWorkspaceName(key.Name) {
			faults = append(faults, s.newFault(m.Name.StartOffset, key.String(), "the name is empty, has blanks or is not ASCII", "use printable characters, at most 63"))
		}
	} else if !validName(key.Name) {
		faults = append(faults, s.newFault(m.Name.StartOffset, key.String(), "the name is not in kebab case", "use lower-case letters, digits and hyphens, at most 63"))
	}
	if fields, ok := m.Value.Value.(*hujson.Object); ok {
		faults = append(faults, s.checkFields(key, fields)...)
	}
	if len(faults) > 0 {
		return ParsedObject{}, faults
	}
	if err := NewSet().Put(key, body); err != nil {
		return ParsedObject{}, []Fault{s.newFault(m.Value.StartOffset, key.String(), decodeErrorText(err), "give the field a value of that type")}
	}
	if key.Kind == KindWorkspace {
		digested, err := digestKeys(body)
		if err != nil {
			return ParsedObject{}, []Fault{s.newFault(m.Value.StartOffset, key.String(), err.Error(), "mend the key")}
		}
		body = digested
	}
	return ParsedObject{key: key, body: body, file: s, offset: m.Name.StartOffset}, nil
}

func decodeErrorText(err error) string {
	var mismatch *json.UnmarshalTypeError
	if errors.As(err, &mismatch) {
		return fmt.Sprintf("field %q is a %s where a %s is expected", mismatch.Field, mismatch.Value, mismatch.Type)
	}
	return err.Error()
}

func (s *source) checkFields(key Key, fields *hujson.Object) []Fault {
	var faults []Fault
	seen := map[string]bool{}
	for _, f := range fields.Members {
		name := memberName(f)
		switch {
		case !slices.Contains(fieldNames[key.Kind], name):
			faults = append(faults, s.newFault(f.Name.StartOffset, key.String(), fmt.Sprintf("field %q does not exist", name), "use "+strings.Join(fieldNames[key.Kind], ", ")))
		case seen[name]:
			faults = append(faults, s.newFault(f.Name.StartOffset, key.String(), fmt.Sprintf("field %q is given twice", name), "keep one"))
		}
		seen[name] = true
	}
	return faults
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	for i, r := range name {
		inner := i > 0 && i < len(name)-1
		if (r < 'a' || r > 'z') && (r < '0' || r > '9') && (r != '-' || !inner) {
			return false
		}
	}
	return true
}

// FromWire parses a published object; its faults carry KIND/NAME as the name of the file.
func FromWire(kind, name string, body []byte) (ParsedObject, []Fault) {
	text, err := json.Marshal(map[string]map[string]json.RawMessage{kind: {name: body}})
	if err != nil {
		return ParsedObject{}, []Fault{{File: kind + "/" + name, Line: 1, Column: 1, Text: err.Error(), Fix: "publish valid JSON"}}
	}
	parsed, faults := Parse(kind+"/"+name, text)
	if len(faults) > 0 {
		return ParsedObject{}, faults
	}
	return parsed[0], nil
}
