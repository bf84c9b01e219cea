# Designated initialisers leave members at their defaults on purpose.
set(DFM_WARNINGS -Wall -Wextra -Werror -Wno-missing-field-initializers)
if(DFM_SANITIZE)
  # With a sanitizer GCC 12 warns falsely about Asio's coroutines; the plain build is strict.
  list(APPEND DFM_WARNINGS -Wno-error)
endif()

# dfm_library(<Component> [DEPENDS <Component or target>...])
# Defines the static library dfm<Component> from every *.cpp file of the current directory.
function(dfm_library component)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_library(dfm${component} STATIC ${sources})
  target_include_directories(dfm${component} PUBLIC ${PROJECT_SOURCE_DIR}/include)
  target_compile_options(dfm${component} PRIVATE ${DFM_WARNINGS})
  target_link_libraries(dfm${component} PUBLIC fmt::fmt tl::expected ${ARG_DEPENDS})
endfunction()

# dfm_tool(<program> [DEPENDS <target>...])
# Defines a program from every *.cpp file of the current directory.
function(dfm_tool program)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${program} ${sources})
  target_compile_options(${program} PRIVATE ${DFM_WARNINGS})
  target_link_libraries(${program} PRIVATE ${ARG_DEPENDS})
endfunction()

# dfm_test(<Component> [DEPENDS <target>...])
# Defines the Criterion test program <Component>Tests from every *.cpp file of the current directory.
function(dfm_test component)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
  add_executable(${component}Tests ${sources})
  target_compile_options(${component}Tests PRIVATE ${DFM_WARNINGS})
  target_link_libraries(${component}Tests PRIVATE dfm${component} ${ARG_DEPENDS} PkgConfig::CRITERION rapidcheck)
  add_dependencies(unittests ${component}Tests)
  add_test(NAME ${component} COMMAND ${PROJECT_SOURCE_DIR}/utils/run-suite.sh ${component}
           $<TARGET_FILE:${component}Tests> --jobs 4)
  set_tests_properties(${component} PROPERTIES TIMEOUT 900)
endfunction()
