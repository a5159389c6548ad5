package lsn_test

import (
	"testing"

	"github.com/matryer/is"

	"trefoilcourse/wire/lsn"
)

func TestRoundTrip(t *testing.T) {
	is := is.New(t)
	for _, offset := range []uint64{0, 1, 0xffffffff, 0x100000000, 0xffffffffffffffff} {
		back, err := lsn.Parse(lsn.Format(offset))
		is.NoErr(err)
		is.Equal(back, offset)
	}
	for _, bad := range []string{"", "1", "/", "1/G", "100000000/0", "0/100000000", "-1/0"} {
		_, err := lsn.Parse(bad)
		is.True(err != nil)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("16/B374D848")
	f.Fuzz(func(t *testing.T, text string) {
		offset, err := lsn.Parse(text)
		if err != nil {
			return
		}
		if back, err := lsn.Parse(lsn.Format(offset)); err != nil || back != offset {
			t.Fatalf("%q is %d, which comes back as %d", text, offset, back)
		}
	})
}
