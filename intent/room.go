package intent

import "time"

// Room is what the backend servers of a service offer in a region.
type Room struct {
	// Servers counts those that no drain covers.
	Servers int
	// Slots counts all slots, Usable those of servers that no drain covers.
	Slots  int
	Usable int
}

// Room returns the room of a service in a region, or in all regions for "".
func (c *Configuration) Room(service *Service, region string) Room {
	var room Room
	for i := range service.BackendServers {
		server := &service.BackendServers[i]
		if region != "" && server.Region != region {
			continue
		}
		room.Slots += server.Slots
		if !c.Draining(server) {
			room.Servers++
			room.Usable += server.Slots
		}
	}
	return room
}

// Rate returns how many requests a second the usable slots carry, or 0 where
// the service's usual time is not known.
func (r Room) Rate(service *Service) float64 {
	if service.ServiceTime == 0 {
		return 0
	}
	return float64(r.Usable) / time.Duration(service.ServiceTime).Seconds()
}
