package intent

import "time"

// Capacity is what the backend servers of a service offer in a region.
type Capacity struct {
	// UsableServers counts those that no drain covers.
	UsableServers int
	// TotalSlots counts all slots, Usable those of servers that no drain covers.
	TotalSlots  int
	UsableSlots int
}

// Capacity returns the room of a service in a region, or in all regions for "".
func (c *Configuration) Capacity(service *Service, region string) Capacity {
	var room Capacity
	for i := range service.BackendServers {
		server := &service.BackendServers[i]
		if region != "" && server.Region != region {
			continue
		}
		room.TotalSlots += server.Slots
		if !c.ServerDraining(server) {
			room.UsableServers++
			room.UsableSlots += server.Slots
		}
	}
	return room
}

// RequestRate returns how many requests a second the usable slots carry, or 0 where
// the service's usual time is not known.
func (r Capacity) RequestRate(service *Service) float64 {
	if service.ServiceTime == 0 {
		return 0
	}
	return float64(r.UsableSlots) / time.Duration(service.ServiceTime).Seconds()
}
