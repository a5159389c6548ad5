package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestTemplatesAreRendered guards against templates that ask for a field that the stand-in for the platform lacks: once
// no process started, and no case could run.
func TestTemplatesAreRendered(t *testing.T) {
	f := &fleet{ports: map[string]int{}}
	m := &machine{name: "front-zone-a-1", zone: "zone-a", ip: "127.20.1.1", disk: true}
	f.machines = []*machine{m}
	for _, role := range []string{"entry", "control"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "deploy", role+".hujson.tmpl"))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := render(string(text), f.settings(&process{machine: m, role: role}, true)); err != nil {
			t.Errorf("role %s: %v", role, err)
		}
	}
}

// TestMissingValueIsAnError guards against settings with an empty value, which end every process at its start.
func TestMissingValueIsAnError(t *testing.T) {
	for text, want := range map[string]string{
		`"regions": {{zones|json}}`:      "no value for {{zones}}",
		`{{^bootstrap}}x{{/bootstrap}}`:  "does not know",
		`{{#node}}{{,}}{{/node}}`:        "does not know",
		`{{#node}}"{{.}}"{{/bootstrap}}`: "ended as bootstrap",
	} {
		if _, err := render(text, map[string]any{"node": "n"}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q", text, err, want)
		}
	}
	if text, err := render(`a{{#limits.max_fds}}{{.}}{{/limits.max_fds}}b`, map[string]any{"node": "n"}); err != nil || text != "ab" {
		t.Errorf("a section without a value: %q, %v", text, err)
	}
}
