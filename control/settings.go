package control

import (
	"fmt"
	"net"

	"trefoilcourse/coord/settings"
	"trefoilcourse/wire/identity"
)

// Settings is what a control VM reads from its settings file.
type Settings struct {
	VM            string `json:"vm"`
	FailureDomain string `json:"failure-domain"`
	Listen        string `json:"listen"`
	// HTTP serves /healthz and /debug/vars; empty serves neither.
	HTTP       string            `json:"http,omitempty"`
	DataFolder string            `json:"data-folder"`
	Peers      map[string]string `json:"peers"`
	// TLS is used among the system's processes; nil leaves them in plain text.
	TLS *identity.Files `json:"tls,omitempty"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	var s Settings
	if err := settings.Load(path, &s); err != nil {
		return Settings{}, err
	}
	return s, s.Check()
}

// Check returns an error for the first setting that cannot work.
func (s Settings) Check() error {
	switch {
	case s.VM == "":
		return fmt.Errorf("vm is empty; give this control VM a name")
	case s.DataFolder == "":
		return fmt.Errorf("data-folder is empty; name the folder that keeps the log")
	case len(s.Peers)%2 == 0:
		return fmt.Errorf("peers lists %d control VMs; list an odd number, this one included", len(s.Peers))
	case s.Peers[s.VM] == "":
		return fmt.Errorf("peers does not list %q; include this control VM", s.VM)
	}
	if s.TLS != nil {
		if s.TLS.Authority == "" {
			return fmt.Errorf("tls has no authority; name the one that the system's certificates come from")
		}
		if err := (&identity.Identity{Files: *s.TLS}).Check(); err != nil {
			return err
		}
	}
	for vm, address := range s.Peers {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return fmt.Errorf("address of peer %q: %w", vm, err)
		}
	}
	return nil
}
