package chart

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
)

// Chart is a validated state chart.
type Chart struct {
	initial string
	events  []string
	states  map[string]map[string]string
}

type chartFile struct {
	Initial string                       `json:"initial"`
	Events  []string                     `json:"events"`
	States  map[string]map[string]string `json:"states"`
}

// Parse parses a chart and returns an error for undefined target states, unknown events, unreachable
// states, and states that do not handle every event.
func Parse(data []byte) (*Chart, error) {
	var f chartFile
	if err := json.Unmarshal(data, &f); err != nil {
		return nil, fmt.Errorf("state chart: %w", err)
	}
	c := &Chart{initial: f.Initial, events: f.Events, states: f.States}
	if err := c.checkStates(); err != nil {
		return nil, err
	}
	return c, c.checkReachability()
}

// MustParse is like Parse but panics on an error; it is meant for embedded charts.
func MustParse(data []byte) *Chart {
	c, err := Parse(data)
	if err != nil {
		panic(err)
	}
	return c
}

// Initial returns the initial state.
func (c *Chart) Initial() string { return c.initial }

// Events returns the names of the events in the order of the file.
func (c *Chart) Events() []string { return slices.Clone(c.events) }

// States returns the names of the states in alphabetical order.
func (c *Chart) States() []string { return slices.Sorted(maps.Keys(c.states)) }

// Next returns the state that follows state on event; it panics if the chart does not define them.
func (c *Chart) Next(state, event string) string {
	next, ok := c.states[state][event]
	if !ok {
		panic(fmt.Sprintf("state chart: state %q has no event %q", state, event))
	}
	return next
}

func (c *Chart) checkStates() error {
	if _, ok := c.states[c.initial]; !ok {
		return fmt.Errorf("state chart: initial state %q is not defined", c.initial)
	}
	for _, state := range c.States() {
		for _, event := range c.events {
			if _, ok := c.states[state][event]; !ok {
				return fmt.Errorf("state chart: state %q does not handle event %q", state, event)
			}
		}
		for event, target := range c.states[state] {
			if !slices.Contains(c.events, event) {
				return fmt.Errorf("state chart: state %q handles unknown event %q", state, event)
			}
			if _, ok := c.states[target]; !ok {
				return fmt.Errorf("state chart: event %q leads from state %q to undefined state %q", event, state, target)
			}
		}
	}
	return nil
}

func (c *Chart) checkReachability() error {
	reached := map[string]bool{c.initial: true}
	queue := []string{c.initial}
	for len(queue) > 0 {
		state := queue[0]
		queue = queue[1:]
		for _, target := range c.states[state] {
			if !reached[target] {
				reached[target] = true
				queue = append(queue, target)
			}
		}
	}
	for _, state := range c.States() {
		if !reached[state] {
			return fmt.Errorf("state chart: state %q is unreachable", state)
		}
	}
	return nil
}
