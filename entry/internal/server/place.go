package server

import (
	"strconv"
	"time"

	"bamboohill/core/ranker"
	"bamboohill/entry/internal/placer"
)

// Interval of the placer.
const (
	pollsPerUpdate    = 10 // polls of the configuration between two updates of the placer
	maxUpdateInterval = 5 * time.Second
)

// placersPerDomain is the number of entries that may decide for one failure
// domain. The others do not read its lease.
const placersPerDomain = 4

// mayPlace reports whether this entry is one of those that may decide for a
// failure domain.
func (s *Server) mayPlace(domain string) bool {
	self := s.config.Settings.Inner
	return ranker.InTop(domain, append(s.gossiper.Live(), self), self, placersPerDomain)
}

// newPlacer returns a placer whose name identifies this entry and its boot.
func (s *Server) newPlacer() *placer.Placer {
	set := s.config.Settings
	return placer.New(placer.Config{
		Table: s.table, Keeper: s.keeper, Watcher: s.watcher, Log: s.config.Log,
		Name:   set.Advertise + "/" + strconv.FormatUint(s.boot, 10),
		Demand: s.demand, MayDecide: s.mayPlace, Interval: min(maxUpdateInterval, pollsPerUpdate*time.Duration(set.Poll)*time.Millisecond),
	})
}
