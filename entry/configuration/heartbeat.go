package configuration

import (
	"time"

	teaselv1 "github.com/teaselstack/teaselstack/api/teasel/v1"
	"github.com/teaselstack/teaselstack/entry/membership"
)

// HeartbeatExtension returns the extension that records the configuration versions
// that peers report in heartbeats and their responses.
func (k *Keeper) HeartbeatExtension() membership.Extension {
	return membership.Extension{
		HandleRequest: func(request *teaselv1.HeartbeatRequest, _ *teaselv1.HeartbeatResponse) {
			k.recordMemberVersion(request.GetSender())
		},
		HandleResponse: func(_ time.Time, response *teaselv1.HeartbeatResponse) {
			k.recordMemberVersion(response.GetReceiver())
		},
	}
}

// recordMemberVersion records the configuration version in the member record of a
// heartbeat's sender or receiver.
func (k *Keeper) recordMemberVersion(member *teaselv1.Member) {
	k.RecordPeerVersion(member.GetPeerAddress(), member.GetConfigurationVersion())
}
