package configuration

import (
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
)

// HeartbeatExtension hears of peers' versions with the heartbeats.
func (k *Keeper) HeartbeatExtension() membership.Extension {
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
	k.RecordPeerVersion(peer.GetPeerAddress(), peer.GetConfigurationVersion())
}
