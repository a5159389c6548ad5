package main_test

import (
	"testing"

	"github.com/matryer/is"

	main "trefoilcourse/trefoil"
)

func TestProgressIsShownWhenItChanges(t *testing.T) {
	is := is.New(t)
	var shown [][2]int
	show := main.OnChange(func(confirmed, all int) { shown = append(shown, [2]int{confirmed, all}) })
	for _, n := range [][2]int{{0, 3}, {0, 3}, {1, 3}, {1, 3}, {1, 4}, {4, 4}, {4, 4}} {
		show(n[0], n[1])
	}
	is.Equal(shown, [][2]int{{0, 3}, {1, 3}, {1, 4}, {4, 4}})
}
