package relay

import (
	"encoding/json"
	"net/http"
)

// ControlHandler returns the handler with which a test run reads and controls the
// relay: GET /links returns the loads of all links, POST /cuts makes and DELETE
// /cuts heals the Partition in the body, all as JSON. DELETE with a body that does
// not decode, such as an empty one, heals all partitions.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /links", func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.LinkLoads())
	})
	mux.HandleFunc("POST /cuts", func(w http.ResponseWriter, r *http.Request) {
		var partition Partition
		if err := json.NewDecoder(r.Body).Decode(&partition); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetPartition(partition, true)
	})
	mux.HandleFunc("DELETE /cuts", func(_ http.ResponseWriter, r *http.Request) {
		var partition Partition
		if err := json.NewDecoder(r.Body).Decode(&partition); err != nil {
			s.HealPartitions()
			return
		}
		s.SetPartition(partition, false)
	})
	return mux
}
