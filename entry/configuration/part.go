package configuration

import (
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
)

// Part hears of peers' versions with the heartbeats.
func (k *Keeper) Part() membership.Extension {
	return membership.Extension{
		HandleRequest: func(request *teaselv1.HeartbeatRequest, _ *teaselv1.HeartbeatResponse) {
			k.hear(request.GetSender())
		},
		HandleResponse: func(_ time.Time, response *teaselv1.HeartbeatResponse) {
			k.hear(response.GetReceiver())
		},
	}
}

func (k *Keeper) hear(peer *teaselv1.Member) {
	k.Announce(peer.GetPeerAddress(), peer.GetConfigurationVersion())
}
