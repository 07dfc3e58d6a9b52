package server

import (
	"strconv"
	"time"

	"bamboohill/entry/internal/placer"
)

// Pace of the placer.
const (
	placePolls = 10 // polls of the configuration between two steps
	placeMost  = 5 * time.Second
)

// newPlacer returns the placer of this entry and start.
func (s *Server) newPlacer() *placer.Placer {
	set := s.config.Settings
	return placer.New(placer.Config{
		Table: s.table, Keeper: s.keeper, Watcher: s.watcher, Log: s.config.Log,
		Name:  set.Advertise + "/" + strconv.FormatUint(s.boot, 10),
		Every: min(placeMost, placePolls*time.Duration(set.Poll)*time.Millisecond),
	})
}
