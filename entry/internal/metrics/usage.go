package metrics

import "strings"

// maxWorkspaces limits the workspaces that are counted by name; the others are counted together.
const maxWorkspaces = 100

// otherWorkspaces is the name under which the workspaces beyond maxWorkspaces are counted.
const otherWorkspaces = "other"

// CountUsageRefusal counts an operation that was refused because of its workspace's usage cap.
func (m *Metrics) CountUsageRefusal(workspace string) {
	workspace = strings.Map(labelRune, workspace)
	m.mu.Lock()
	if m.refusedNames == nil {
		m.refusedNames = map[string]bool{}
	}
	switch {
	case m.refusedNames[workspace]:
	case len(m.refusedNames) < maxWorkspaces:
		m.refusedNames[workspace] = true
	default:
		workspace = otherWorkspaces
	}
	m.mu.Unlock()
	m.usageRefused.Add(workspace, 1)
}

// labelRune replaces what must not be part of a name in ServeText's lines.
func labelRune(r rune) rune {
	if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || strings.ContainsRune("-_.", r) {
		return r
	}
	return '_'
}
