package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"
)

// Load decodes the file at path into target and names the file in every error.
func Load(path string, target any) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := Decode(text, target); err != nil {
		return fmt.Errorf("settings file %s: %w", path, err)
	}
	return nil
}

// Decode decodes JSON with comments and refuses keys that target does not have.
func Decode(text []byte, target any) error {
	standard, err := hujson.Standardize(text)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(standard))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}
