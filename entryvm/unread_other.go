//go:build !linux

package entryvm

import "net"

// hasUnreadBytes reports false: whether bytes have arrived is known on Linux only.
func hasUnreadBytes(net.Conn) (unread bool) { return false }
