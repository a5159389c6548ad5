package burn

import (
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"time"
)

const (
	percent    = 100
	maxBarPart = 300.0
	// alarmRate is the rate at which a fiftieth of a 30 days' budget goes within an hour.
	alarmRate = 14.4
)

// Windows are the times over which a report looks back.
var Windows = []time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 3 * 24 * time.Hour, 30 * 24 * time.Hour}

// Window is how a service did over one time.
type Window struct {
	Name string  `json:"window"`
	Good int64   `json:"good"`
	Bad  int64   `json:"bad"`
	Rate float64 `json:"burn-rate"`
}

// Bar is the length of the window's bar in a picture.
func (w Window) Bar() float64 { return min(maxBarPart, w.Rate*maxBarPart/alarmRate) }

// Alarm reports that the budget goes too fast to wait.
func (w Window) Alarm() bool { return w.Rate >= alarmRate }

// Over reports that more fails than the objective allows in the long run.
func (w Window) Over() bool { return w.Rate > 1 }

// Service is how one service does.
type Service struct {
	Name            string   `json:"service"`
	Objective       float64  `json:"objective-percent"`
	Windows         []Window `json:"windows"`
	BudgetLeft      float64  `json:"budget-left-percent"`
	CoveredFraction float64  `json:"window-covered"`
}

// Report works out each service's windows at now; objectives are percentages by service, and
// usual is taken for the others.
func Report(now time.Time, samples []Sample, objectives map[string]float64, usual float64) []Service {
	byService := map[string][]Sample{}
	for _, s := range samples {
		byService[s.Service] = append(byService[s.Service], s)
	}
	var services []Service
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		objective, ok := objectives[name]
		if !ok {
			objective = usual
		}
		services = append(services, report(now, name, byService[name], objective))
	}
	return services
}

func report(now time.Time, name string, samples []Sample, objective float64) Service {
	s := Service{Name: name, Objective: objective}
	allowed := 1 - objective/percent
	oldest := now
	for _, sample := range samples {
		if sample.Time.Before(oldest) {
			oldest = sample.Time
		}
	}
	for _, d := range Windows {
		good, bad := increase(samples, now.Add(-d))
		w := Window{Name: d.String(), Good: good, Bad: bad}
		if good+bad > 0 && allowed > 0 {
			w.Rate = float64(bad) / float64(good+bad) / allowed
		}
		s.Windows = append(s.Windows, w)
	}
	longest := Windows[len(Windows)-1]
	s.CoveredFraction = min(1, now.Sub(oldest).Seconds()/longest.Seconds())
	s.BudgetLeft = percent * (1 - s.Windows[len(Windows)-1].Rate)
	return s
}

// increase adds up what each life of each daemon counted since a time. A life that was first
// seen after it counts from nothing; one seen before counts from its last sample before.
func increase(samples []Sample, since time.Time) (good, bad int64) {
	type life struct{ vm, life string }
	last := map[life]Sample{}
	base := map[life]Sample{}
	for _, s := range samples {
		key := life{s.VM, s.Life}
		if !s.Time.After(since) && !s.Time.Before(base[key].Time) {
			base[key] = s
		}
		if !s.Time.Before(last[key].Time) {
			last[key] = s
		}
	}
	for key, s := range last {
		good += s.Good - base[key].Good
		bad += s.Bad - base[key].Bad
	}
	return good, bad
}

// Text writes the report for people.
func Text(w io.Writer, services []Service) {
	for _, s := range services {
		fmt.Fprintf(w, "%s: objective %.3g%%, %.1f%% of the budget left (%.0f%% of 30 days on record)\n", s.Name, s.Objective, s.BudgetLeft, percent*s.CoveredFraction)
		for _, win := range s.Windows {
			note := ""
			switch {
			case win.Alarm():
				note = "  ALARM: the budget is gone within two days at this rate"
			case win.Over():
				note = "  more than the objective allows"
			}
			fmt.Fprintf(w, "  last %-9s %9d good %7d bad  burn rate %.2f%s\n", win.Name, win.Good, win.Bad, win.Rate, note)
		}
	}
}

var page = template.Must(template.New("burn").Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:15px system-ui,sans-serif;margin:2em;max-width:52em}
h2{margin:1.2em 0 .2em}table{border-collapse:collapse}td{padding:.15em .8em .15em 0}
.n{text-align:right}rect.ok{fill:#3a7d44}rect.over{fill:#d9902f}rect.alarm{fill:#b3261e}
line{stroke:#444;stroke-dasharray:3 2}
</style>
<h1>Service-level burn</h1>
<p>A rate of 1 uses the budget up exactly at the end of 30 days; the dashed line is 1, the end of the scale is 14.4.</p>
{{range .}}<h2>{{.Name}}</h2>
<p>Objective {{printf "%.3g" .Objective}}%, {{printf "%.1f" .BudgetLeft}}% of the budget left.</p>
<table>{{range .Windows}}<tr><td>last {{.Name}}</td>
<td><svg width="304" height="16"><rect class="{{if .Alarm}}alarm{{else if .Over}}over{{else}}ok{{end}}" x="0" y="2" width="{{printf "%.1f" .Bar}}" height="12"/><line x1="20.8" x2="20.8" y1="0" y2="16"/></svg></td>
<td class="n">{{printf "%.2f" .Rate}}</td><td class="n">{{.Good}} good</td><td class="n">{{.Bad}} bad</td></tr>
{{end}}</table>
{{end}}</html>
`))

// HTML writes the report as a page that needs nothing else.
func HTML(w io.Writer, services []Service) error { return page.Execute(w, services) }
