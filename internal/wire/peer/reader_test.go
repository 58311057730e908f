package peer

import (
	"bytes"
	"encoding/binary"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"snowquay/internal/testseed"
)

func TestMain(m *testing.M) { testseed.Main(m) }

// The reader returns the same frames for any fragments of a stream, and keeps nothing of those that it has returned.
func TestReaderReturnsFramesOfFragments(t *testing.T) {
	key := []byte("a key of sixteen bytes")
	rapid.Check(t, func(t *rapid.T) {
		messages := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 300), 1, 8).Draw(t, "messages")
		var stream []byte
		for _, message := range messages {
			stream = Append(stream, key, Frame{From: 3, Kind: Consensus, Message: message})
		}
		var reader Reader
		var got [][]byte
		for len(stream) > 0 {
			size := rapid.IntRange(1, len(stream)).Draw(t, "fragment")
			reader.Feed(stream[:size])
			stream = stream[size:]
			for {
				frame, ok, err := reader.Next(key)
				if err != nil {
					t.Fatal(err)
				}
				if !ok {
					break
				}
				got = append(got, frame.Message)
			}
		}
		if len(got) != len(messages) || reader.Memory() != 0 {
			t.Fatalf("%d frames, want %d; %d bytes are kept", len(got), len(messages), reader.Memory())
		}
		for i, message := range messages {
			if !bytes.Equal(got[i], message) {
				t.Fatalf("frame %d is %x, want %x", i, got[i], message)
			}
		}
	})
}

// Guards against peers without the key that announce long frames: each of them could make a coordinator buffer 8 MiB.
func TestLongFrameBeforeTheFirstValidOneIsRejected(t *testing.T) {
	key := []byte("a key of sixteen bytes")
	long := Append(nil, key, Frame{From: 2, Kind: Consensus, Message: make([]byte, maxFirstFrameBytes)})
	var stranger Reader
	stranger.Feed(long[:fromOffset])
	if _, _, err := stranger.Next(key); !errors.Is(err, ErrFrame) {
		t.Errorf("error %v for a long first frame, want ErrFrame", err)
	}
	var member Reader
	member.Feed(Append(nil, key, Frame{From: 2, Kind: Hello}))
	member.Feed(long)
	for i := range 2 {
		if _, ok, err := member.Next(key); !ok || err != nil {
			t.Fatalf("frame %d of a member: ok %v, error %v", i, ok, err)
		}
	}
	tooLong := bytes.Clone(long)
	binary.BigEndian.PutUint32(tooLong[lengthOffset:], maxFrameBytes+1)
	member.Feed(tooLong)
	if _, _, err := member.Next(key); !errors.Is(err, ErrFrame) {
		t.Errorf("error %v for a frame beyond the limit, want ErrFrame", err)
	}
}
