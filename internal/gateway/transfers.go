package gateway

import (
	"errors"
	"fmt"
	"time"
)

// Limits of transfers.
const (
	maxHeldBody      = 64 << 10               // bytes of a body that are held before it is streamed
	maxHoldTime      = 100 * time.Millisecond // after the header, for a body of unknown length
	maxWriteSize     = 32 << 10               // bytes written at once
	minClientRate    = 32 << 10               // bytes per second of a client's body
	minTransferRate  = 4 << 10                // bytes per second of all other transfers
	stallTimeout     = 10 * time.Second       // without a byte, and in total beyond the minimum rate
	uploadLingerTime = time.Second            // for a client that still sends its body to receive the response
)

var (
	errBodyTooLong     = errors.New("the body is too long")
	errTransferAborted = errors.New("transfer aborted: the client has its response or has disconnected")
	errBodyConsumed    = fmt.Errorf("%w: another attempt has read its body", errTransferAborted)
)
