package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"unicode"
)

const (
	// digestPrefix marks a key that is given by its digest.
	digestPrefix = "sha256:"
	maxKeyBytes  = 512
	// maxOperations is the upper limit of a rate and a burst; it detects mistyped numbers.
	maxOperations = 1_000_000_000
)

// KeyDigest returns the digest by which a key is stored, distributed and looked up, so that the key
// itself is neither in messages between VMs nor in their memory.
func KeyDigest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return digestPrefix + hex.EncodeToString(sum[:])
}

// KeyDigests returns the digests of keys. A key that is given by its digest stays as it is. The error
// names an invalid key by its number, never by its text.
func KeyDigests(keys []string) ([]string, error) {
	digests := make([]string, 0, len(keys))
	for i, key := range keys {
		switch {
		case key == "":
			return nil, fmt.Errorf("key %d is empty", i+1)
		case len(key) > maxKeyBytes:
			return nil, fmt.Errorf("key %d has %d bytes; the limit is %d", i+1, len(key), maxKeyBytes)
		case strings.ContainsFunc(key, func(r rune) bool { return unicode.IsSpace(r) || unicode.IsControl(r) }):
			return nil, fmt.Errorf("key %d contains a blank or a control character", i+1)
		case !isKeyDigest(key):
			key = KeyDigest(key)
		}
		digests = append(digests, key)
	}
	return digests, nil
}

func isKeyDigest(key string) bool {
	digest, ok := strings.CutPrefix(key, digestPrefix)
	sum, err := hex.DecodeString(digest)
	return ok && err == nil && len(sum) == sha256.Size && digest == strings.ToLower(digest)
}

// digestKeys replaces the keys in the body of a workspace by their digests.
func digestKeys(body []byte) ([]byte, error) {
	var w Workspace
	if err := json.Unmarshal(body, &w); err != nil {
		return nil, err
	}
	keys, err := KeyDigests(w.Keys)
	if err != nil {
		return nil, err
	}
	w.Keys = keys
	return json.Marshal(w)
}

// validWorkspaceName reports whether servers can be given the name in one word. The names are those of
// organizations, so any case and punctuation is allowed.
func validWorkspaceName(name string) bool {
	return name != "" && len(name) <= maxNameBytes &&
		!strings.ContainsFunc(name, func(r rune) bool { return r <= ' ' || r > '~' })
}

func (c *checker) checkWorkspace(object ParsedObject, w Workspace) {
	if w.OperationsPerSecond < 0 || w.OperationsPerSecond > maxOperations {
		c.addFault(object, fmt.Sprintf("operations-per-second is %g", w.OperationsPerSecond), fmt.Sprintf("use a number from 0 to %d", maxOperations))
	}
	c.checkRange(object, "burst", w.Burst, 0, maxOperations)
	for i, key := range w.Keys {
		earlier, used := c.keys[key]
		if !used {
			c.keys[key] = keyPlace{object, i + 1}
			continue
		}
		if earlier.object.key == object.key {
			continue
		}
		line, _ := earlier.object.file.position(earlier.object.offset)
		c.addFault(object,
			fmt.Sprintf("key %d is also key %d of %s at %s:%d", i+1, earlier.number, earlier.object.key, earlier.object.file.name, line),
			"list it in one workspace")
	}
}

// keyPlace is where a key is listed; number counts the keys of its workspace from 1.
type keyPlace struct {
	object ParsedObject
	number int
}
