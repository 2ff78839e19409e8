package ratelimit

import "testing"

func TestParse(t *testing.T) {
	for text, want := range map[string]Notice{
		"":      {State: Unlimited},
		"2":     {State: Limited, PerSecond: 2},
		"2.5":   {State: Limited, PerSecond: 2.5},
		"0":     {State: Limited},
		"1e9":   {State: Limited, PerSecond: MaxPerSecond},
		"-1":    {},
		"NaN":   {},
		"Inf":   {},
		"1e999": {},
		"2/s":   {},
		"none":  {},
	} {
		got, ok := Parse(text)
		if got != want || ok != (want.State != Unknown) {
			t.Errorf("%q: %+v, %t; want %+v", text, got, ok, want)
		}
	}
}
