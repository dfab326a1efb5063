package targets

import (
	"testing"

	"github.com/matryer/is"
)

// announcementPrefix is the beginning of an announcement; the test cases append the rest.
const announcementPrefix = `{"instance":"a","service":"s","cell":"c","address":"10.0.0.1:80","incarnation":1,"sequence":2`

func TestParseAnnouncement_Valid(t *testing.T) {
	is := is.New(t)
	_, violations := ParseAnnouncement([]byte(announcementPrefix + `,"warmth":0.5,"leaving":true}`))
	is.Equal(len(violations), 0)
}

func TestParseAnnouncement_ReportsPathOfViolation(t *testing.T) {
	cases := map[string]string{
		`,"warmth":2}`:      "warmth",
		`,"warmth":"1"}`:    "warmth",
		`,"colour":1}`:      "colour",
		`,"cell":"d"}`:      "cell",
		`,"interval_ms":1}`: "interval_ms",
		`,"leaving":"no"}`:  "leaving",
		`,"capacity":1.5}`:  "capacity",
		`,`:                 "(body)",
	}
	for suffix, path := range cases {
		t.Run(path+suffix, func(t *testing.T) {
			_, violations := ParseAnnouncement([]byte(announcementPrefix + suffix))
			if violations[path] == "" {
				t.Errorf("announcement ending in %s: no violation at the expected path, got %v", suffix, violations)
			}
		})
	}
}

func TestParseAnnouncement_ReportsAllViolations(t *testing.T) {
	is := is.New(t)
	_, violations := ParseAnnouncement([]byte(`{"instance":"a b","service":"S","cell":"","address":"host:80","incarnation":0}`))
	is.Equal(len(violations), 6)
}
