package targets

import (
	"testing"

	"github.com/matryer/is"
)

// announcementHead begins an announcement; the test cases end it.
const announcementHead = `{"instance":"a","service":"s","cell":"c","address":"10.0.0.1:80","incarnation":1,"sequence":2`

func TestParseAnnouncement_Valid(t *testing.T) {
	is := is.New(t)
	_, violations := ParseAnnouncement([]byte(announcementHead + `,"warmth":0.5,"leaving":true}`))
	is.Equal(len(violations), 0)
}

func TestParseAnnouncement_NamesThePathOfAViolation(t *testing.T) {
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
	for rest, path := range cases {
		t.Run(path+rest, func(t *testing.T) {
			_, violations := ParseAnnouncement([]byte(announcementHead + rest))
			if violations[path] == "" {
				t.Errorf("%s gave %v", rest, violations)
			}
		})
	}
}

func TestParseAnnouncement_ReportsAllViolations(t *testing.T) {
	is := is.New(t)
	_, violations := ParseAnnouncement([]byte(`{"instance":"a b","service":"S","cell":"","address":"host:80","incarnation":0}`))
	is.Equal(len(violations), 6)
}
