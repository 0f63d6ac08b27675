package conf_test

import (
	"bytes"
	"errors"
	"reflect"
	"testing"

	"comfreypulley/io/conf"
)

// sampleFleet contains every kind of section and every key of a fleet file.
const sampleFleet = `[vm vm1]
zone = a
peer = 127.0.0.1:7001
disk = yes
state = draining

[upstream u1]
zone  = a
addr  = 127.0.0.1:9001
index = pairing
slots = 3
conns = 65
dial  = 6ms
state = draining

[contract tabadul]
credential  = 2bb80d537b1da3e38bd30361aa855686bde0eacd7162fef6a25fe97bf527a25b
indexes     = pairing, portal
concurrency = 300
capacity    = 0.5
extra       = 0.05
retention   = 1h30m
retired     = yes

[class tabadul now]
wait     = 50ms
price    = 30
weight   = 4
coverage = 0.5

[class tabadul later]
wait     = 2s
price    = 1
coverage = 1
`

// Guards against a fleet that differs after writing and reading it, and against a
// parser that panics or returns an error other than *FileError.
func FuzzFleet(f *testing.F) {
	f.Add([]byte(sampleFleet))
	f.Add([]byte("[contract a]\n[class a]"))
	f.Add([]byte("[vm `]\nzone = `#;`\npeer = [::1]:1"))
	f.Add([]byte("[upstream \"\"\"a]\nzone=\"\"\"\nx\"\"\""))
	f.Add([]byte("[class]"))
	f.Add([]byte("[ ]\nkey = 1"))
	f.Add([]byte("[``]\nkey = 1"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		fleet, err := conf.ParseFleet("f.ini", raw)
		if err != nil {
			var fileErr *conf.FileError
			if !errors.As(err, &fileErr) {
				t.Fatalf("got %T, want *conf.FileError", err)
			}
			return
		}
		var out bytes.Buffer
		if err := conf.WriteFleet(&out, fleet); err != nil {
			t.Fatal(err)
		}
		reread, err := conf.ParseFleet("f.ini", out.Bytes())
		if err != nil {
			t.Fatalf("%v in\n%s", err, out.String())
		}
		if !reflect.DeepEqual(reread, fleet) {
			t.Fatalf("got %+v, want %+v from\n%s", reread, fleet, out.String())
		}
	})
}

// Guards against keys that the writer omits.
func TestWrittenFleetIsTheSame(t *testing.T) {
	fleet, err := conf.ParseFleet("f.ini", []byte(sampleFleet))
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if err := conf.WriteFleet(&out, fleet); err != nil {
		t.Fatal(err)
	}
	got, err := conf.ParseFleet("f.ini", out.Bytes())
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, fleet) {
		t.Errorf("got %+v, want %+v", got, fleet)
	}
}
