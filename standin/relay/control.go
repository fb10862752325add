package relay

import (
	"encoding/json"
	"net/http"
)

// Control serves GET /links, POST and DELETE /cuts with a Cut as JSON; DELETE
// without a body heals all cuts.
func (s *Server) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /links", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.LinkLoads())
	})
	mux.HandleFunc("POST /cuts", func(w http.ResponseWriter, r *http.Request) {
		var cut Partition
		if err := json.NewDecoder(r.Body).Decode(&cut); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetPartition(cut, true)
	})
	mux.HandleFunc("DELETE /cuts", func(_ http.ResponseWriter, r *http.Request) {
		var cut Partition
		if err := json.NewDecoder(r.Body).Decode(&cut); err != nil {
			s.HealPartitions()
			return
		}
		s.SetPartition(cut, false)
	})
	return mux
}
