package codec_test

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"

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
