package simulator

import (
	"bufio"
	"bytes"
	"compress/gzip"
	"flag"
	"io"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"dunlinwell/internal/base/event"
	"dunlinwell/internal/base/ids"
)

var record = flag.Bool("record", false, "record the daybooks anew, after a change that is meant")

// taped are the machines whose daybooks are kept: each in the midst of trouble.
var taped = []string{"store-2", "registry-1", "proxy-3"}

// Recorded traces of the three machines, with all the slices in them (roll,
// rounds, registers, target table, plans), are played again: same events, same commands.
func TestDaybooks(t *testing.T) {
	is := is.New(t)
	books := map[string]*bytes.Buffer{}
	if *record {
		p := Params{Seed: 3, Length: 20 * time.Second, Tape: map[string]io.Writer{}, TapeFor: 13 * time.Second, FaultEvery: 700 * time.Millisecond}
		for _, n := range taped {
			books[n] = &bytes.Buffer{}
			p.Tape[n] = books[n]
		}
		Run(p)
	}
	for _, n := range taped {
		file := filepath.Join("testdata", n+".daybook.gz")
		if *record {
			var packed bytes.Buffer
			z := gzip.NewWriter(&packed)
			_, err := z.Write(books[n].Bytes())
			is.NoErr(err)
			is.NoErr(z.Close())
			is.NoErr(os.MkdirAll("testdata", 0o755))
			is.NoErr(os.WriteFile(file, packed.Bytes(), 0o644))
		}
		raw, err := os.ReadFile(file)
		is.NoErr(err)
		z, err := gzip.NewReader(bytes.NewReader(raw))
		is.NoErr(err)
		book := bufio.NewReader(z)
		head, err := book.ReadString('\n')
		is.NoErr(err)
		lines, err := Replay(head, book)
		if err != nil {
			t.Errorf("%s: %v", n, err)
		}
		t.Logf("%s: %d lines", n, lines)
		is.True(lines > 300)
	}
}

// A machine that does one thing otherwise is found out at that very line.
func TestDaybooksBite(t *testing.T) {
	is := is.New(t)
	book := "5 event.Tick {}\n6 event.Tick {}\n< 811c9dc5 \n"
	line, err := Play(quietMachine{}, bytes.NewReader([]byte(book)))
	is.True(err != nil)
	is.Equal(line, 3)
}

type quietMachine struct{}

func (quietMachine) Step(ids.Time, event.Event) []event.Command { return nil }
