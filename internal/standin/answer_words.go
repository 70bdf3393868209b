package standin

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

var vocabulary = [...]string{
	"amber", "birch", "cedar", "delta", "ember", "fjord", "grove", "heron", "inlet", "juniper", "kelp", "larch",
	"maple", "north", "otter", "pine", "quartz", "reed", "slate", "tern", "umber", "vale", "willow", "yarrow",
}

// AnswerWords returns the words of the answer to a body. They are the same for
// the same body and request id on every engine. The first word contains the
// request id, so that an answer that reaches the wrong caller is detected. If
// maxTokens is not positive, the length is between least and most, and callers
// only know it at the end of the answer.
func AnswerWords(body []byte, requestID string, maxTokens, least, most int) []string {
	seed := xxhash.Sum64(body)
	n := maxTokens
	if n <= 0 {
		n = least + int(seed%uint64(max(1, most-least+1)))
	}
	words := make([]string, 0, n)
	for i := range n {
		words = append(words, answerWord(seed, i))
	}
	if n > 0 {
		words[0] = fmt.Sprintf("[%s] ", requestID)
	}
	return words
}

func answerWord(seed uint64, i int) string {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], seed)
	binary.LittleEndian.PutUint64(b[8:], uint64(i))
	return vocabulary[xxhash.Sum64(b[:])%uint64(len(vocabulary))] + " "
}
