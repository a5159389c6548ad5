package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"

	"github.com/tailscale/hujson"
)

// Load decodes the file at path into target; decoding errors name the file.
func Load(path string, target any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	if err := Decode(data, target); err != nil {
		return fmt.Errorf("settings file %s: %w", path, err)
	}
	return nil
}

// Decode decodes JSON with comments into target and returns an error for keys that target does not
// have.
func Decode(data []byte, target any) error {
	standardized, err := hujson.Standardize(data)
	if err != nil {
		return err
	}
	decoder := json.NewDecoder(bytes.NewReader(standardized))
	decoder.DisallowUnknownFields()
	return decoder.Decode(target)
}
