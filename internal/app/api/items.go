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
	"dunlinwell/internal/state/policy"
)

// kinds are the words of the pages' paths.
var kinds = map[string]string{"services": "service", "routes": "route", "cells": "cell"}

// Item is one item as it is read back.
type Item struct {
	Kind    string          `json:"kind"`
	Name    ids.Name        `json:"name"`
	Version ids.Revision    `json:"version"`
	Body    json.RawMessage `json:"body"`
}

// read asks for the policy; local only where the caller wants that.
func (w *Server) read(rw http.ResponseWriter, r *http.Request) (*policy.Policy, bool) {
	local := r.URL.Query().Get("local") == "true"
	rep := w.Do(func(id uint64) any { return registry.PolicyCall{ID: id, Local: local} })
	p, ok := rep.Body.(*policy.Policy)
	if !ok {
		Write(rw, rep)
	}
	return p, ok
}

func (w *Server) policy(rw http.ResponseWriter, r *http.Request) {
	if p, ok := w.read(rw, r); ok {
		c := *p
		c.Recent, c.Declined, c.History = nil, nil, nil
		Write(rw, registry.Response{Status: 200, Body: c})
	}
}

// kind finds the kind that a path names.
func kind(rw http.ResponseWriter, r *http.Request) (string, bool) {
	k, ok := kinds[r.PathValue("kind")]
	if !ok {
		Say(rw, 404, "there is no page "+r.URL.Path)
	}
	return k, ok
}

// items finds the kind that a path names, and reads the policy.
func (w *Server) items(rw http.ResponseWriter, r *http.Request) (string, *policy.Policy, bool) {
	k, ok := kind(rw, r)
	if !ok {
		return k, nil, false
	}
	p, ok := w.read(rw, r)
	return k, p, ok
}

func (w *Server) list(rw http.ResponseWriter, r *http.Request) {
	k, p, ok := w.items(rw, r)
	if !ok {
		return
	}
	list := []Item{}
	for _, n := range sortedNames(p.Of(k)) {
		it := p.Of(k)[n]
		list = append(list, Item{k, n, it.Version, it.Body})
	}
	Write(rw, registry.Response{Status: 200, Body: map[string]any{"revision": p.Revision, "items": list}})
}

func (w *Server) one(rw http.ResponseWriter, r *http.Request) {
	k, p, ok := w.items(rw, r)
	if !ok {
		return
	}
	n := ids.Name(r.PathValue("name"))
	it, found := p.Of(k)[n]
	if !found {
		Say(rw, 404, fmt.Sprintf("there is no %s %q", k, n))
		return
	}
	rw.Header().Set("ETag", `"`+strconv.FormatUint(uint64(it.Version), 10)+`"`)
	Write(rw, registry.Response{Status: 200, Body: Item{k, n, it.Version, it.Body}})
}

// part writes one part of a change as JSON, keeping the body as it was sent.
func (w *Server) part(r *http.Request, kind, deed string, body []byte) ([]byte, error) {
	name, err := json.Marshal(r.PathValue("name"))
	if err != nil {
		return nil, err
	}
	id := r.Header.Get("Change-Id")
	if id == "" {
		id = w.newChange()
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
	return []byte(fmt.Sprintf(`{"id":%s,"changes":[{"kind":%q,"name":%s%s,%q:%s}]}`, quoted, kind, name, version, deed, body)), nil
}

func (w *Server) single(rw http.ResponseWriter, r *http.Request, kind, deed string, body []byte) {
	raw, err := w.part(r, kind, deed, body)
	if err != nil {
		Say(rw, 400, err.Error())
		return
	}
	w.change(rw, raw)
}

func (w *Server) put(rw http.ResponseWriter, r *http.Request) {
	k, ok := kind(rw, r)
	if !ok {
		return
	}
	raw, ok := Body(rw, r)
	if !ok {
		return
	}
	// Checked by itself first, or a body could close the part it is put into.
	if !json.Valid(raw) {
		Write(rw, registry.Response{Status: 400, Body: policy.Result{Faults: []policy.Fault{{Item: k + "/" + r.PathValue("name"), Problem: "is not valid JSON"}}}})
		return
	}
	w.single(rw, r, k, "put", raw)
}

func (w *Server) remove(rw http.ResponseWriter, r *http.Request) {
	if k, ok := kind(rw, r); ok {
		w.single(rw, r, k, "remove", []byte("true"))
	}
}

// deed empties or refills a cell, or shuts or opens its targets alone.
func (w *Server) deed(rw http.ResponseWriter, r *http.Request) {
	switch r.PathValue("deed") {
	case "empty":
		w.single(rw, r, "cell", "set", []byte(`{"emptied":true}`))
	case "refill":
		w.single(rw, r, "cell", "set", []byte(`{"emptied":false}`))
	case "shut":
		w.single(rw, r, "cell", "set", []byte(`{"shut":true}`))
	case "open":
		w.single(rw, r, "cell", "set", []byte(`{"shut":false}`))
	default:
		Say(rw, 404, "there is no page "+r.URL.Path)
	}
}

func (w *Server) change(rw http.ResponseWriter, raw []byte) {
	Write(rw, w.Do(func(id uint64) any { return registry.ChangeCall{ID: id, Raw: raw} }))
}

// mergePage takes items whose versions their caller gives.
const mergePage = "/v1/merge"

func (w *Server) merge(rw http.ResponseWriter, r *http.Request) {
	raw, ok := Body(rw, r)
	if !ok {
		return
	}
	m, faults := policy.ReadMerge(raw)
	if len(faults) > 0 {
		Write(rw, registry.Response{Status: 400, Body: policy.Result{Faults: faults}})
		return
	}
	Write(rw, w.Do(func(id uint64) any { return registry.MergeCall{ID: id, Body: m} }))
}
