package api

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"dunlinwell/internal/base/errs"
	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// kindsByPath are the words of the pages' paths.
var kindsByPath = map[string]string{"services": "service", "routes": "route", "cells": "cell"}

// Item is one item as it is read back.
type Item struct {
	Kind    string          `json:"kind"`
	Name    ids.Name        `json:"name"`
	Version ids.Revision    `json:"version"`
	Body    json.RawMessage `json:"body"`
}

// readConfiguration asks for the configuration; local only where the caller wants that.
func (s *Server) readConfiguration(rw http.ResponseWriter, r *http.Request) (*configuration.Document, bool) {
	local := r.URL.Query().Get("local") == "true"
	rep := s.Do(func(id uint64) any { return registry.ReadConfigurationCall{ID: id, Local: local} })
	p, ok := rep.Body.(*configuration.Document)
	if !ok {
		WriteResponse(rw, rep)
	}
	return p, ok
}

func (s *Server) getConfiguration(rw http.ResponseWriter, r *http.Request) {
	if p, ok := s.readConfiguration(rw, r); ok {
		c := *p
		c.RecentResults, c.RejectedResults, c.History = nil, nil, nil
		WriteResponse(rw, registry.Response{Status: 200, Body: c})
	}
}

// pathKind finds the kind that a path names.
func pathKind(rw http.ResponseWriter, r *http.Request) (string, bool) {
	k, ok := kindsByPath[r.PathValue("kind")]
	if !ok {
		WriteError(rw, 404, "there is no page "+r.URL.Path)
	}
	return k, ok
}

// readItems finds the kind that a path names, and reads the configuration.
func (s *Server) readItems(rw http.ResponseWriter, r *http.Request) (string, *configuration.Document, bool) {
	k, ok := pathKind(rw, r)
	if !ok {
		return k, nil, false
	}
	p, ok := s.readConfiguration(rw, r)
	return k, p, ok
}

func (s *Server) listItems(rw http.ResponseWriter, r *http.Request) {
	k, p, ok := s.readItems(rw, r)
	if !ok {
		return
	}
	list := []Item{}
	for _, n := range sortedNames(p.Items(k)) {
		it := p.Items(k)[n]
		list = append(list, Item{k, n, it.Version, it.Body})
	}
	WriteResponse(rw, registry.Response{Status: 200, Body: map[string]any{"revision": p.Revision, "items": list}})
}

func (s *Server) getItem(rw http.ResponseWriter, r *http.Request) {
	k, p, ok := s.readItems(rw, r)
	if !ok {
		return
	}
	n := ids.Name(r.PathValue("name"))
	it, found := p.Items(k)[n]
	if !found {
		WriteError(rw, 404, fmt.Sprintf("there is no %s %q", k, n))
		return
	}
	rw.Header().Set("ETag", `"`+strconv.FormatUint(uint64(it.Version), 10)+`"`)
	WriteResponse(rw, registry.Response{Status: 200, Body: Item{k, n, it.Version, it.Body}})
}

// buildChange writes one part of a change as JSON, keeping the body as it was sent.
func (s *Server) buildChange(r *http.Request, kind, action string, body []byte) ([]byte, error) {
	name, err := json.Marshal(r.PathValue("name"))
	if err != nil {
		return nil, err
	}
	id := r.Header.Get("Change-Id")
	if id == "" {
		id = s.newChangeID()
	}
	quoted, err := json.Marshal(id)
	if err != nil {
		return nil, err
	}
	version := ""
	if v := strings.Trim(r.Header.Get("If-Match"), `"`); v != "" {
		if _, err := strconv.ParseUint(v, 10, 62); err != nil {
			return nil, errs.New("read header", "", "If-Match must be an item's version")
		}
		version = `,"version":` + v
	}
	return []byte(fmt.Sprintf(`{"id":%s,"changes":[{"kind":%q,"name":%s%s,%q:%s}]}`, quoted, kind, name, version, action, body)), nil
}

func (s *Server) submitItemChange(rw http.ResponseWriter, r *http.Request, kind, action string, body []byte) {
	raw, err := s.buildChange(r, kind, action, body)
	if err != nil {
		WriteError(rw, 400, err.Error())
		return
	}
	s.submitChange(rw, raw)
}

func (s *Server) putItem(rw http.ResponseWriter, r *http.Request) {
	k, ok := pathKind(rw, r)
	if !ok {
		return
	}
	raw, ok := ReadBody(rw, r)
	if !ok {
		return
	}
	// Checked by itself first, or a body could close the part it is put into.
	if !json.Valid(raw) {
		WriteResponse(rw, registry.Response{Status: 400, Body: configuration.Result{Violations: []configuration.Violation{{Item: k + "/" + r.PathValue("name"), Reason: "is not valid JSON"}}}})
		return
	}
	s.submitItemChange(rw, r, k, "put", raw)
}

func (s *Server) removeItem(rw http.ResponseWriter, r *http.Request) {
	if k, ok := pathKind(rw, r); ok {
		s.submitItemChange(rw, r, k, "remove", []byte("true"))
	}
}

// setZoneState empties or refills a zone, or shuts or opens its targets alone.
func (s *Server) setZoneState(rw http.ResponseWriter, r *http.Request) {
	switch r.PathValue("deed") {
	case "empty":
		s.submitItemChange(rw, r, "cell", "set", []byte(`{"emptied":true}`))
	case "refill":
		s.submitItemChange(rw, r, "cell", "set", []byte(`{"emptied":false}`))
	case "shut":
		s.submitItemChange(rw, r, "cell", "set", []byte(`{"shut":true}`))
	case "open":
		s.submitItemChange(rw, r, "cell", "set", []byte(`{"shut":false}`))
	default:
		WriteError(rw, 404, "there is no page "+r.URL.Path)
	}
}

func (s *Server) submitChange(rw http.ResponseWriter, raw []byte) {
	WriteResponse(rw, s.Do(func(id uint64) any { return registry.ChangeCall{ID: id, Raw: raw} }))
}

// mergePath takes items whose versions their caller gives.
const mergePath = "/v1/merge"

func (s *Server) submitMerge(rw http.ResponseWriter, r *http.Request) {
	raw, ok := ReadBody(rw, r)
	if !ok {
		return
	}
	m, faults := configuration.ReadMerge(raw)
	if len(faults) > 0 {
		WriteResponse(rw, registry.Response{Status: 400, Body: configuration.Result{Violations: faults}})
		return
	}
	WriteResponse(rw, s.Do(func(id uint64) any { return registry.MergeCall{ID: id, Body: m} }))
}
