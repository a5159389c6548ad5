package announcement_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/coord/announcement"
	"trefoilcourse/wire"
)

func valid() *wire.Announcement {
	return &wire.Announcement{
		Group: "g", Slot: "i-1", Incarnation: "1", Address: "10.0.0.9:5432", FailureDomain: "d1",
		Born: 1_796_446_660_305, Sequence: 1, Concurrency: 3,
	}
}

// oddOnes are announcements that no server sends.
func oddOnes() map[string]*wire.Announcement {
	odd := map[string]*wire.Announcement{}
	add := func(name string, change func(a *wire.Announcement)) {
		odd[name] = valid()
		change(odd[name])
	}
	add("unreadable id", func(a *wire.Announcement) { a.Slot = "i-\xff\xfe" })
	add("id with a line break", func(a *wire.Announcement) { a.Slot = "i-1\r\nQUERY 1 WRITE 1 x" })
	add("id with a blank", func(a *wire.Announcement) { a.Slot = "i 1" })
	add("long id", func(a *wire.Announcement) { a.Slot = strings.Repeat("i", 129) })
	add("no id", func(a *wire.Announcement) { a.Slot = "" })
	add("unreadable failure domain", func(a *wire.Announcement) { a.FailureDomain = "\xff" })
	add("port out of range", func(a *wire.Announcement) { a.Address = "10.0.0.9:65536" })
	add("port 0", func(a *wire.Announcement) { a.Address = "10.0.0.9:0" })
	add("negative port", func(a *wire.Announcement) { a.Address = "10.0.0.9:-1" })
	add("named port", func(a *wire.Announcement) { a.Address = "10.0.0.9:postgres" })
	add("no port", func(a *wire.Announcement) { a.Address = "10.0.0.9" })
	add("no host", func(a *wire.Announcement) { a.Address = ":5432" })
	add("unreadable host", func(a *wire.Announcement) { a.Address = "\xff:5432" })
	add("huge start time", func(a *wire.Announcement) { a.Born = 1<<64 - 1 })
	add("huge sequence", func(a *wire.Announcement) { a.Sequence = 1<<64 - 1 })
	add("huge concurrency", func(a *wire.Announcement) { a.Concurrency = 1<<32 - 1 })
	add("unreadable id that is gone", func(a *wire.Announcement) { a.Slot, a.Gone = "\xff", true })
	return odd
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	is.NoErr(announcement.Check(valid()))
	is.NoErr(announcement.Check(&wire.Announcement{Slot: "i-1", Gone: true}))
	for name, a := range oddOnes() {
		var problem *announcement.Error
		if !errors.As(announcement.Check(a), &problem) {
			t.Errorf("%s: not refused", name)
		}
	}
}
