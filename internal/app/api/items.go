package api

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strconv"

	"dunlinwell/internal/base/ids"
	"dunlinwell/internal/controlplane/registry"
	"dunlinwell/internal/state/configuration"
)

// The kinds of items, as they appear in changes.
const (
	kindService = "service"
	kindRoute   = "route"
	kindZone    = "cell"
)

// kindsByPath maps the kind in a path to the kind of item.
var kindsByPath = map[string]string{"services": kindService, "routes": kindRoute, "cells": kindZone}

// Item is one item of the configuration, as it appears in answers.
type Item struct {
	Kind    string          `json:"kind"`
	Name    ids.Name        `json:"name"`
	Version ids.Revision    `json:"version"`
	Body    json.RawMessage `json:"body"`
}

// itemList is the answer to a listing of all items of a kind, ordered by name.
type itemList struct {
	Items    []Item       `json:"items"`
	Revision ids.Revision `json:"revision"`
}

// pathKind returns the kind of item that a path names. If the kind is unknown, pathKind
// writes a 404 answer and returns false.
func pathKind(rw http.ResponseWriter, r *http.Request) (string, bool) {
	kind, ok := kindsByPath[r.PathValue("kind")]
	if !ok {
		writeNotFound(rw, r)
	}
	return kind, ok
}

func writeNotFound(rw http.ResponseWriter, r *http.Request) {
	WriteError(rw, http.StatusNotFound, "there is no page "+r.URL.Path)
}

// readConfiguration reads the configuration, confirmed by a majority of stores unless the
// query has local=true: then it is the registry's own copy, which may be stale. If the
// read fails, readConfiguration writes the error answer and returns false.
func (s *Server) readConfiguration(rw http.ResponseWriter, r *http.Request) (*configuration.Document, bool) {
	local := r.URL.Query().Get("local") == "true"
	response := s.Do(func(id uint64) any { return registry.ReadConfigurationCall{ID: id, Local: local} })
	document, ok := response.Body.(*configuration.Document)
	if !ok {
		WriteResponse(rw, response)
	}
	return document, ok
}

// readItems returns the kind of item that a path names and the configuration. On failure,
// it writes the error answer and returns false.
func (s *Server) readItems(rw http.ResponseWriter, r *http.Request) (kind string, document *configuration.Document, ok bool) {
	if kind, ok = pathKind(rw, r); !ok {
		return kind, nil, false
	}
	document, ok = s.readConfiguration(rw, r)
	return kind, document, ok
}

// getConfiguration answers with the whole configuration, without the results and history of
// changes that are stored with it.
func (s *Server) getConfiguration(rw http.ResponseWriter, r *http.Request) {
	if document, ok := s.readConfiguration(rw, r); ok {
		body := *document
		body.RecentResults, body.RejectedResults, body.History = nil, nil, nil
		WriteResponse(rw, registry.Response{Status: http.StatusOK, Body: body})
	}
}

func (s *Server) listItems(rw http.ResponseWriter, r *http.Request) {
	kind, document, ok := s.readItems(rw, r)
	if !ok {
		return
	}
	items := document.Items(kind)
	list := itemList{Items: []Item{}, Revision: document.Revision}
	for _, name := range slices.Sorted(maps.Keys(items)) {
		list.Items = append(list.Items, Item{kind, name, items[name].Version, items[name].Body})
	}
	WriteResponse(rw, registry.Response{Status: http.StatusOK, Body: list})
}

func (s *Server) getItem(rw http.ResponseWriter, r *http.Request) {
	kind, document, ok := s.readItems(rw, r)
	if !ok {
		return
	}
	name := ids.Name(r.PathValue("name"))
	item, found := document.Items(kind)[name]
	if !found {
		WriteError(rw, http.StatusNotFound, fmt.Sprintf("there is no %s %q", kind, name))
		return
	}
	rw.Header().Set("ETag", `"`+strconv.FormatUint(uint64(item.Version), 10)+`"`)
	WriteResponse(rw, registry.Response{Status: http.StatusOK, Body: Item{kind, name, item.Version, item.Body}})
}
