package codec_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"regexp"
	"slices"
	"strings"
	"testing"
	"time"

	"comfreypulley/io/codec"
)

// Guards against one element that cannot be read costing the others, and against
// elements that are cut in the wrong place.
func TestElements(t *testing.T) {
	deep := strings.Repeat("[", 20000) + strings.Repeat("]", 20000)
	for _, tc := range []struct {
		text string
		want []string
		rest string
	}{
		{`{"list":[],"next":null}`, nil, `{"list":[],"next":null}`},
		{`{"next":"a,]","list":[ {"a":"x]\"},"} , 7,[1,2]]}`, []string{`{"a":"x]\"},"}`, "7", "[1,2]"}, `{"next":"a,]","list":[]}`},
		{`{"list":[{"id":"a"},` + deep + `,{"id":"b"}]}`, []string{`{"id":"a"}`, deep, `{"id":"b"}`}, `{"list":[]}`},
		{`{"list":[{"id":nope},{"id":"b"}]}`, []string{`{"id":nope}`, `{"id":"b"}`}, `{"list":[]}`},
		{`{"other":{"list":[1]},"list":[2]}`, []string{"2"}, `{"other":{"list":[1]},"list":[]}`},
		{`{"list":{"list":[1]}}`, nil, `{"list":{"list":[1]}}`},
		{`[1,2]`, nil, `[1,2]`},
		{``, nil, ``},
	} {
		elements, rest, err := codec.Elements([]byte(tc.text), "list")
		var got []string
		for _, e := range elements {
			got = append(got, string(e))
		}
		if err != nil || !slices.Equal(got, tc.want) || string(rest) != tc.rest {
			t.Errorf("%.60s: got %.60q and rest %.60s, %v, want %.60q and %.60s", tc.text, got, rest, err, tc.want, tc.rest)
		}
	}
	for _, text := range []string{`{"list":[1,2`, `{"list":["a`, `{"list":[{]`} {
		if elements, _, err := codec.Elements([]byte(text), "list"); err == nil {
			t.Errorf("%s: got %q, want an error", text, elements)
		}
	}
}

// Guards against a text that panics, or from which elements are read otherwise than
// encoding/json does.
func FuzzElements(f *testing.F) {
	f.Add([]byte(`{"list":[{"a":"]\\\""},7,[1,{}]],"next":"x"}`))
	f.Add([]byte(`{"list":[{"id":nope},{"id":"b"}]`))
	f.Add([]byte(`{"a":"list","list":[null,"\u005d"]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		elements, rest, err := codec.Elements(text, "list")
		var fields map[string]json.RawMessage
		if !json.Valid(text) || json.Unmarshal(text, &fields) != nil || bytes.Count(text, []byte(`"list"`)) != 1 || bytes.Contains(text, []byte(`\u`)) {
			return
		}
		var want []json.RawMessage
		if json.Unmarshal(fields["list"], &want) != nil {
			return
		}
		if err != nil || len(elements) != len(want) || !json.Valid(rest) {
			t.Fatalf("got %q with rest %q, %v, want %q", elements, rest, err, want)
		}
		for i := range want {
			if got := string(elements[i]); got != strings.TrimSpace(string(want[i])) {
				t.Errorf("element %d: got %s, want %s", i, got, want[i])
			}
		}
	})
}

// Guards against an element that is cut off, or contains odd quotes or brackets, costing the
// elements around it.
func TestElementsAroundABrokenOne(t *testing.T) {
	const a, b, c = `{"id":"a","next":"x"}`, `{"id":"b,]}"}`, `{"id":"c"}`
	for _, broken := range []string{
		`{"service":"archive","address":"127.0.0.1:8080","ver`, `{"slots":12`, `{"slo`, `{`, `{"a":`, `{"a":[`, `{"a":[1`, `[`, `[1`, `"`, `"x`, `}`, `]`, `{]`, `[}`,
		`]}`, `],`, `{"a":{"b":"c"}`, `{"id":"x"},]`, "\x01\"\x02", "\xff\xfe", `\`, `"\`, `{"a":"\`, `{"a":"\"`, `nope`, `,`, `{},{"x`, `{"a":["b",{"c":"d`,
		strings.Repeat(`[`, 20000), strings.Repeat(`{"a":`, 20000), strings.Repeat(`{"a":[`, 20000), strings.Repeat(`"`, 1001), strings.Repeat(`,{"a":[1,`, 20000),
		strings.Repeat(`],"`, 20000), `{"big":"` + strings.Repeat("x", 100_000),
	} {
		for _, list := range []string{broken + "," + a + "," + b, a + "," + broken + "," + b, a + "," + b + "\n," + broken + "\n"} {
			for _, text := range []string{`{"list":[` + list + `],"next":"x"}`, `{"next":null,"list":[` + list + `]}`} {
				elements, rest, err := codec.Elements([]byte(text), "list")
				if err != nil || !json.Valid(rest) {
					t.Errorf("%.80q: got rest %.60q, %v, want the elements around", text, rest, err)
				}
				for _, want := range []string{a, b} {
					if !slices.ContainsFunc(elements, func(e []byte) bool { return string(e) == want }) {
						t.Errorf("%.80q: got %.200q, want %q among them", text, elements, want)
					}
				}
			}
		}
	}
	for _, odd := range []string{`],"`, `],"a":["x"`, `,{"a":[1,`, `,{"a":`, `,{"`, `{`, `[`, `]`, `"`, `,{"a":{},"b":[[1,2,3],4,5,6,7]`, `,{},`} {
		text := `{"list":[` + a + "," + strings.Repeat(odd, (2<<20)/len(odd)) + `],"next":"x"}`
		start := time.Now()
		_, _, _ = codec.Elements([]byte(text), "list")
		if got := time.Since(start); got > 2*time.Second {
			t.Errorf("%q many times: took %v for 2 MiB, want a time that grows with the length only", odd, got)
		}
	}
	for _, text := range []string{`{"list":[` + a + `,{"x":`, `{"list":[` + a + `,` + b, `{"list":[` + a + `,"`, `{"list":[` + a + `]`} {
		var cutOff *codec.ArrayError
		if elements, _, err := codec.Elements([]byte(text), "list"); !errors.As(err, &cutOff) || cutOff.Name != "list" {
			t.Errorf("%s: got %q, %v, want an *ArrayError for a list that is cut off", text, elements, err)
		}
	}
	// What cannot be told apart: these bytes close the list and open another one.
	text := `{"list":[` + a + `,],"other":[` + b + `,` + c + `]}`
	if elements, _, err := codec.Elements([]byte(text), "list"); err != nil || len(elements) != 1 || string(elements[0]) != a {
		t.Errorf("%s: got %q, %v, want only %q", text, elements, err, a)
	}
}

// Guards against bytes between two elements that can be read, and cost one of them. Bytes that
// close the list, with a comma and a quote after the bracket, are left out: they may open a
// further field of the object, whose elements are not those of the list
// (TestElementsAroundABrokenOne shows it).
func FuzzElementsAround(f *testing.F) {
	for _, seed := range []string{`{"a":"b`, `{"a":[1`, `"`, `]`, `{"a":{"b":[`, "\x01\"\x02", `{"id":"a"},{"x`, `],"`} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, broken []byte) {
		const a, b = `{"id":"a"}`, `{"id":"b"}`
		if len(broken) > 1<<14 || closesList.Match(broken) {
			return
		}
		text := slices.Concat([]byte(`{"list":[`+a+","), broken, []byte(","+b+`],"next":"x"}`))
		elements, _, err := codec.Elements(text, "list")
		for _, want := range []string{a, b} {
			if err != nil || !slices.ContainsFunc(elements, func(e []byte) bool { return string(e) == want }) {
				t.Fatalf("%q between two elements: got %q, %v, want %s among them", broken, elements, err, want)
			}
		}
	})
}

var closesList = regexp.MustCompile(`\][ \t\r\n]*,[ \t\r\n]*"`)
