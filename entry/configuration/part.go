package configuration

import (
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
)

// HeartbeatExtension returns the extension that records the configuration versions
// in peers' heartbeats.
func (k *Keeper) HeartbeatExtension() membership.Extension {
	return membership.Extension{
		HandleRequest: func(request *teaselv1.HeartbeatRequest, _ *teaselv1.HeartbeatResponse) {
			k.recordMember(request.GetSender())
		},
		HandleResponse: func(_ time.Time, response *teaselv1.HeartbeatResponse) {
			k.recordMember(response.GetReceiver())
		},
	}
}

// recordMember records the version that a heartbeat reports for its sender.
func (k *Keeper) recordMember(member *teaselv1.Member) {
	k.RecordPeerVersion(member.GetPeerAddress(), member.GetConfigurationVersion())
}
