package checker

import "encoding/json"

// ReadConfiguration reads what the page of the configuration says.
func ReadConfiguration(raw []byte) (Configuration, error) {
	var in struct {
		Revision uint64          `json:"revision"`
		Services map[string]Body `json:"services"`
		Routes   map[string]Body `json:"routes"`
		Zones    map[string]Body `json:"cells"`
	}
	if err := json.Unmarshal(raw, &in); err != nil {
		return Configuration{}, err
	}
	p := Configuration{Revision: in.Revision, Items: map[Item]Body{}}
	for kind, list := range map[string]map[string]Body{"service": in.Services, "route": in.Routes, "cell": in.Zones} {
		for n, b := range list {
			p.Items[Item{kind, n}] = b
		}
	}
	return p, nil
}

// ReadChange reads a change's own words.
func ReadChange(raw []byte) (Change, error) {
	var in struct {
		ID      string `json:"id"`
		Changes []struct {
			Kind string `json:"kind"`
			Name string `json:"name"`
			ExpectedItem
		} `json:"changes"`
	}
	c := Change{Items: map[Item]ExpectedItem{}}
	err := json.Unmarshal(raw, &in)
	c.ID = in.ID
	for _, p := range in.Changes {
		c.Items[Item{p.Kind, p.Name}] = p.ExpectedItem
	}
	return c, err
}
