package proof

import _ "pgregory.net/rapid"
