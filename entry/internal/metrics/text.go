package metrics

import (
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// ServeText serves the counters of this process as lines of a name and a number. The keys of nested
// values are joined by underscores.
func ServeText(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	expvar.Do(func(kv expvar.KeyValue) {
		if !strings.HasPrefix(kv.Key, "trefoil") {
			return
		}
		var value any
		if err := json.Unmarshal([]byte(kv.Value.String()), &value); err != nil {
			return
		}
		writeText(w, "trefoil", value)
	})
}

func writeText(w io.Writer, name string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, nested := range v {
			writeText(w, name+"_"+strings.ToLower(strings.ReplaceAll(key, "-", "_")), nested)
		}
	case float64:
		// A write error means that the client has disconnected; it is ignored.
		_, _ = fmt.Fprintf(w, "%s %v\n", name, v)
	}
}
