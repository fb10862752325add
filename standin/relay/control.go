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
		_ = json.NewEncoder(w).Encode(s.Loads())
	})
	mux.HandleFunc("POST /cuts", func(w http.ResponseWriter, r *http.Request) {
		var cut Cut
		if err := json.NewDecoder(r.Body).Decode(&cut); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetCut(cut, true)
	})
	mux.HandleFunc("DELETE /cuts", func(_ http.ResponseWriter, r *http.Request) {
		var cut Cut
		if err := json.NewDecoder(r.Body).Decode(&cut); err != nil {
			s.Heal()
			return
		}
		s.SetCut(cut, false)
	})
	return mux
}
